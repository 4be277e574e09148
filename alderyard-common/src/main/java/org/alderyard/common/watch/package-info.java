/** Which hosts watch which primary; every host works it out alike from the view. */
package org.alderyard.common.watch;
