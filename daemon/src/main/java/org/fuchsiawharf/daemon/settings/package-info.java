/** Settings read from YAML and checked. */
@NullMarked
package org.fuchsiawharf.daemon.settings;

import org.jspecify.annotations.NullMarked;
