/** The timer service and its clock. */
@NullMarked
package org.fuchsiawharf.core.time;

import org.jspecify.annotations.NullMarked;
