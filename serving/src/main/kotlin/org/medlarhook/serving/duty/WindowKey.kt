package org.medlarhook.serving.duty

private const val WINDOW_DIGITS = 12

/** The number of a usage window as it stands in keys of rows, which sort as text. */
internal fun windowKey(window: Long): String = window.toString().padStart(WINDOW_DIGITS, '0')
