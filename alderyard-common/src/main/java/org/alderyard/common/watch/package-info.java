/** The assignment of watchers to primaries, which every host derives identically from the view. */
package org.alderyard.common.watch;
