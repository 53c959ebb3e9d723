/** An entry instance: the request decisions and their adapters. */
@NullMarked
package org.fuchsiawharf.daemon.instance;

import org.jspecify.annotations.NullMarked;
