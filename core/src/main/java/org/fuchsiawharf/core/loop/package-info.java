/** The single-threaded decision loop on a Disruptor ring buffer. */
@NullMarked
package org.fuchsiawharf.core.loop;

import org.jspecify.annotations.NullMarked;
