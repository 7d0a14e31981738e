/**
 * Records of requests at their two record holders, the owner and the witness. They decide whether a
 * call that must not be repeated may be dispatched, and which outcome is reported for a repeated
 * call. Deterministic; see docs/decisions/0001-at-most-once.md.
 */
package org.heatherspread.core.record;
