/** HTTP handlers beside the relay: directory, readiness and metrics. */
package org.heatherspread.node.serve;
