/** The commands of the command-line interface. */
@NullMarked
package org.fuchsiawharf.daemon.cli;

import org.jspecify.annotations.NullMarked;
