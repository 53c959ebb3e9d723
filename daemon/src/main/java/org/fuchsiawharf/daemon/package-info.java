/** The command line and the daemons. */
@NullMarked
package org.fuchsiawharf.daemon;

import org.jspecify.annotations.NullMarked;
