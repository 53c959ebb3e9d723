/** Open-loop load, and the comparison of ledgers with callers' answers. */
@NullMarked
package org.fuchsiawharf.daemon.load;

import org.jspecify.annotations.NullMarked;
