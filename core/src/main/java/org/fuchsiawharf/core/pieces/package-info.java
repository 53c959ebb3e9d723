/** Batches the pieces of stages for the whole fleet, and reports the backlog for admission control. */
@NullMarked
package org.fuchsiawharf.core.pieces;

import org.jspecify.annotations.NullMarked;
