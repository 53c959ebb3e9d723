/** The decision log and the metrics of an instance. */
@NullMarked
package org.fuchsiawharf.core.log;

import org.jspecify.annotations.NullMarked;
