/** One entry instance: the decisions with their adapters. */
@NullMarked
package org.fuchsiawharf.daemon.instance;

import org.jspecify.annotations.NullMarked;
