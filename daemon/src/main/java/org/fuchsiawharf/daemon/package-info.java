/** The entry point of the command-line interface and the format of its log. */
@NullMarked
package org.fuchsiawharf.daemon;

import org.jspecify.annotations.NullMarked;
