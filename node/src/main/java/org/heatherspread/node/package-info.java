/** Assembly, startup and shutdown of the daemon that runs on the users' platform. */
package org.heatherspread.node;
