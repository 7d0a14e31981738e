/**
 * Detection of poison requests, which crash the endpoints that run them. Deterministic; see
 * docs/decisions/0012-poison.md.
 */
package org.heatherspread.core.poison;
