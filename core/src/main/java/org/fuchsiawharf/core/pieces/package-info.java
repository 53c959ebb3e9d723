/** Pooling of stage pieces into batches, and admission by the backlog of the pools. */
@NullMarked
package org.fuchsiawharf.core.pieces;

import org.jspecify.annotations.NullMarked;
