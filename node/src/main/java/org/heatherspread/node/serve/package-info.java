/** Small answers beside the relay: the directory, readiness and metrics. */
package org.heatherspread.node.serve;
