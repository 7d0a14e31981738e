/** Accounting of the bytes that are held for callers and endpoints. */
package org.heatherspread.relay.buffer;
