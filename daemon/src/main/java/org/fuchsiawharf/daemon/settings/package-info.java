/** Reads and validates settings in YAML. */
@NullMarked
package org.fuchsiawharf.daemon.settings;

import org.jspecify.annotations.NullMarked;
