/** Control work as actors on the relay's event loop: watching the store, reports, duties. */
package org.heatherspread.node.control;
