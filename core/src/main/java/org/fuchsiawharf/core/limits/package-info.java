/** Admission, concurrency limits, and queues with fair sharing between workspaces. */
@NullMarked
package org.fuchsiawharf.core.limits;

import org.jspecify.annotations.NullMarked;
