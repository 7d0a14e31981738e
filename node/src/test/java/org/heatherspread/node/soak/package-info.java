/**
 * A randomised run of real daemons as separate processes, with faults injected from outside, that
 * checks what callers and endpoints see. Run it with {@code bin/soak --help}.
 */
package org.heatherspread.node.soak;
