/** Short calls with a whole body each way, for stores and control interfaces. */
package org.heatherspread.relay.rpc;
