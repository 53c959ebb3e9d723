/** The life of a request, from arrival to its single outcome. */
@NullMarked
package org.fuchsiawharf.core.request;

import org.jspecify.annotations.NullMarked;
