/** Runs entry instances and stand-in endpoints in one process, and experiments on them. */
@NullMarked
package org.fuchsiawharf.daemon.experiment;

import org.jspecify.annotations.NullMarked;
