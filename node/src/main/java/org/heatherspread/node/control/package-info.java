/**
 * Control work as actors on the event loop of the relay: followers of the shared tables, daemon
 * reports and the duties of the lease holder.
 */
package org.heatherspread.node.control;
