/** HTTP server for callers, with strict parsing, limits, and complete or streamed responses. */
package org.heatherspread.relay.caller;
