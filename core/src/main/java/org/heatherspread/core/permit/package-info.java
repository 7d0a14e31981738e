/**
 * Execution permits: the right, given in advance, to have one daemon run one call once. See
 * docs/decisions/0001-at-most-once.md.
 */
package org.heatherspread.core.permit;
