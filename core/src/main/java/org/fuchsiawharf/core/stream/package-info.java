/** The software versions that began streams, so that a stream goes on only at the version that began it. */
@NullMarked
package org.fuchsiawharf.core.stream;

import org.jspecify.annotations.NullMarked;
