/** Admission, concurrency limits, queues and fair sharing. */
@NullMarked
package org.fuchsiawharf.core.limits;

import org.jspecify.annotations.NullMarked;
