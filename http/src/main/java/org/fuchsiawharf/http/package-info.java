/** What both sides of the HTTP adapters share. */
@NullMarked
package org.fuchsiawharf.http;

import org.jspecify.annotations.NullMarked;
