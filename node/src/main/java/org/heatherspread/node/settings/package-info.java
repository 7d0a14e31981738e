/** The settings file of a daemon, with every key checked. */
package org.heatherspread.node.settings;
