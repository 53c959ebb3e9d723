/** Generates open-loop load and compares callers' results with the endpoints' ledgers. */
@NullMarked
package org.fuchsiawharf.daemon.load;

import org.jspecify.annotations.NullMarked;
