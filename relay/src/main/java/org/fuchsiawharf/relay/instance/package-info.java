/** The instance process: component wiring, start-up, drain and shutdown. */
@NullMarked
package org.fuchsiawharf.relay.instance;

import org.jspecify.annotations.NullMarked;
