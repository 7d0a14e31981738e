/** The daemon that runs on the users' platform: settings, assembly, start and stop. */
package org.heatherspread.node;
