/** The life of one caller's request from its arrival to its answer. */
package org.heatherspread.relay.call;
