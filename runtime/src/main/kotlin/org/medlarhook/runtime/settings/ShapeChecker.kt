package org.medlarhook.runtime.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Checks JSON against the structure of a serializable class and returns all differences at once. */
@OptIn(ExperimentalSerializationApi::class)
public object ShapeChecker {
    /**
     * Returns the differences of [element] from [descriptor].
     *
     * @param isPartial true for an overlay, which may omit required members and may remove members by null.
     */
    public fun check(
        element: JsonElement,
        descriptor: SerialDescriptor,
        isPartial: Boolean = false,
    ): List<ShapeError> = Checker(isPartial).check(element, descriptor, "")

    private class Checker(
        private val isPartial: Boolean,
    ) {
        fun check(element: JsonElement, descriptor: SerialDescriptor, path: String): List<ShapeError> {
            if (element is JsonNull) {
                val isAllowed = descriptor.isNullable || isPartial
                return if (isAllowed) emptyList() else listOf(ShapeError(path, "null", describe(descriptor.kind)))
            }
            return when (descriptor.kind) {
                StructureKind.CLASS, StructureKind.OBJECT -> checkObject(element, descriptor, path)
                StructureKind.LIST -> checkList(element, descriptor, path)
                StructureKind.MAP -> checkMap(element, descriptor, path)
                SerialKind.ENUM -> checkEnum(element, descriptor, path)
                is PrimitiveKind -> checkPrimitive(element, descriptor.kind as PrimitiveKind, path)
                is PolymorphicKind, SerialKind.CONTEXTUAL -> emptyList()
            }
        }

        private fun checkObject(element: JsonElement, descriptor: SerialDescriptor, path: String): List<ShapeError> {
            if (element !is JsonObject) return listOf(wrongType(element, descriptor, path))
            val known = descriptor.elementNames.toList()
            val unknown = (element.keys - known.toSet()).map { unknownName("$path/$it", known) }
            val missing = known.indices.filter { isMissing(element, descriptor, it) }
            val nested =
                known.indices.flatMap { index ->
                    val child = element[known[index]] ?: return@flatMap emptyList()
                    check(child, descriptor.getElementDescriptor(index), "$path/${known[index]}")
                }
            return unknown + missing.map { ShapeError("$path/${known[it]}", "nothing", "a value") } + nested
        }

        private fun unknownName(path: String, known: List<String>) =
            ShapeError(path, "an unknown name", "one of ${known.joinToString()}")

        private fun isMissing(element: JsonObject, descriptor: SerialDescriptor, index: Int) =
            !isPartial && !descriptor.isElementOptional(index) && descriptor.getElementName(index) !in element

        private fun checkList(element: JsonElement, descriptor: SerialDescriptor, path: String): List<ShapeError> {
            if (element !is JsonArray) return listOf(wrongType(element, descriptor, path))
            val item = descriptor.getElementDescriptor(0)
            return element.flatMapIndexed { index, child -> check(child, item, "$path/$index") }
        }

        private fun checkMap(element: JsonElement, descriptor: SerialDescriptor, path: String): List<ShapeError> {
            if (element !is JsonObject) return listOf(wrongType(element, descriptor, path))
            val value = descriptor.getElementDescriptor(1)
            return element.flatMap { (name, child) -> check(child, value, "$path/$name") }
        }

        private fun checkEnum(element: JsonElement, descriptor: SerialDescriptor, path: String): List<ShapeError> {
            val allowed = descriptor.elementNames.toList()
            val isKnown = element is JsonPrimitive && element.isString && element.content in allowed
            return if (isKnown) {
                emptyList()
            } else {
                listOf(
                    ShapeError(path, "$element", "one of ${allowed.joinToString()}"),
                )
            }
        }

        private fun checkPrimitive(element: JsonElement, kind: PrimitiveKind, path: String): List<ShapeError> {
            val isValid = element is JsonPrimitive && element.isOf(kind)
            return if (isValid) emptyList() else listOf(ShapeError(path, "$element", describe(kind)))
        }

        private fun JsonPrimitive.isOf(kind: PrimitiveKind): Boolean =
            when (kind) {
                PrimitiveKind.STRING, PrimitiveKind.CHAR -> isString
                PrimitiveKind.BOOLEAN -> !isString && booleanOrNull != null
                PrimitiveKind.INT -> !isString && longOrNull?.let { it.toInt().toLong() == it } == true
                PrimitiveKind.LONG, PrimitiveKind.SHORT, PrimitiveKind.BYTE -> !isString && longOrNull != null
                PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> !isString && doubleOrNull != null
            }

        private fun wrongType(element: JsonElement, descriptor: SerialDescriptor, path: String) =
            ShapeError(path, describe(element), describe(descriptor.kind))

        private fun describe(element: JsonElement): String =
            when (element) {
                is JsonObject -> "an object"
                is JsonArray -> "a list"
                is JsonPrimitive -> "$element"
            }

        private fun describe(kind: SerialKind): String =
            when (kind) {
                StructureKind.LIST -> "a list"
                StructureKind.CLASS, StructureKind.OBJECT, StructureKind.MAP -> "an object"
                PrimitiveKind.STRING, PrimitiveKind.CHAR -> "a string"
                PrimitiveKind.BOOLEAN -> "true or false"
                PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> "a number"
                is PrimitiveKind -> "a whole number"
                else -> "a value"
            }
    }
}
