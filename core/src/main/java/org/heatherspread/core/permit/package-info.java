/**
 * Execution permits: signed tokens, issued in advance, each of which entitles a client account to
 * one at-most-once call at one daemon. See docs/decisions/0001-at-most-once.md.
 */
package org.heatherspread.core.permit;
