/** The settings file of a daemon and its validation. */
package org.heatherspread.node.settings;
