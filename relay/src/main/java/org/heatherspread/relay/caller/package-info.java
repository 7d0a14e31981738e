/** The side that callers connect to: strict parsing, limits, and answers in parts or whole. */
package org.heatherspread.relay.caller;
