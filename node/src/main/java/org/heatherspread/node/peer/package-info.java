/** Calls between daemons: limits kept by one of them, and tables read by one for its domain. */
package org.heatherspread.node.peer;
