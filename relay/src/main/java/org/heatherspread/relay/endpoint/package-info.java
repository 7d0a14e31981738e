/** Pooled HTTP connections to endpoints and to the platform, without pipelining. */
package org.heatherspread.relay.endpoint;
