/**
 * Soak test with random faults: runs daemons as separate processes, injects faults from outside and
 * checks the requests and responses that callers and endpoints observe. {@code bin/soak --help}
 * lists the options.
 */
package org.heatherspread.node.soak;
