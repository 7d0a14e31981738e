/**
 * Records of requests at their two keepers, the owner and the witness: who may dispatch a call that
 * may not be repeated, and what is told to a caller that asks again. Deterministic; see
 * docs/decisions/0001-at-most-once.md.
 */
package org.heatherspread.core.record;
