package org.medlarhook.harness.demo

/** HTTP status and body of a response; status 0 and the error text if there was no response. */
internal data class Answer(
    val status: Int,
    val body: String,
)
