/** HTTP client for short calls to stores and control interfaces. */
package org.heatherspread.relay.rpc;
