/** One instance as a process: its parts, their wiring, start and stop. */
@NullMarked
package org.fuchsiawharf.relay.instance;

import org.jspecify.annotations.NullMarked;
