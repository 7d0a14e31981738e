/** Requests that wait in a daemon while endpoints have no room, and the order of their dispatch. */
package org.heatherspread.core.queue;
