/** The commands of the command line. */
@NullMarked
package org.fuchsiawharf.daemon.cli;

import org.jspecify.annotations.NullMarked;
