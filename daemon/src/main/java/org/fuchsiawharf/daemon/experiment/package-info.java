/** Real instances and stand-ins in one process, and the experiments run on them. */
@NullMarked
package org.fuchsiawharf.daemon.experiment;

import org.jspecify.annotations.NullMarked;
