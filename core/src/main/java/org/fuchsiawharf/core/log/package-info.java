/** Ports for what an instance tells about its decisions. */
@NullMarked
package org.fuchsiawharf.core.log;

import org.jspecify.annotations.NullMarked;
