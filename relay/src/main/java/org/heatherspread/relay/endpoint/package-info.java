/** Connections to endpoints and to the platform, one exchange at a time on each. */
package org.heatherspread.relay.endpoint;
