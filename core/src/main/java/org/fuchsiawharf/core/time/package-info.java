/** The timer service and the clock. */
@NullMarked
package org.fuchsiawharf.core.time;

import org.jspecify.annotations.NullMarked;
