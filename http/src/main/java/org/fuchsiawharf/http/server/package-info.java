/** The callers' and operators' interface over HTTP. */
@NullMarked
package org.fuchsiawharf.http.server;

import org.jspecify.annotations.NullMarked;
