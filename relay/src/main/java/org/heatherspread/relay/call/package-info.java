/**
 * Relays requests of callers to endpoints: admission, endpoint selection, retries and responses.
 */
package org.heatherspread.relay.call;
