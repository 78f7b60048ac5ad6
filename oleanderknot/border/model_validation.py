"""Validates YAML content and reports errors by file, line and field."""

import collections.abc
import typing

import pydantic
from pydantic import fields

from oleanderknot.border import diagnostic
from oleanderknot.border import yaml_document

PYDANTIC_MESSAGE_PREFIXES = ('Input should be ', 'Value error, ')


def validate_section(
    model: type[pydantic.BaseModel],
    document: yaml_document.YamlDocument,
    value: object,
    path: yaml_document.FieldPath = (),
) -> pydantic.BaseModel | None:
    """Validate a section of a YAML document and record its errors there.

    The description of a model field, if present, tells operators which
    values are allowed.

    Args:
        model: Model that the section must conform to.
        document: The YAML document; receives a diagnostic for each error.
        value: Content of the section.
        path: Keys and list indices that lead to the section.

    Returns:
        The validated model, or None if the section is invalid.
    """
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as error:
        for item in error.errors(include_url=False):
            location = tuple(item['loc'])
            # Pydantic counts only the valid items, so a list with invalid
            # items is also reported as too short. The invalid items have
            # errors of their own.
            if item['type'] == 'too_short' and (
                len(item['input']) >= item['ctx']['min_length']
            ):
                continue
            found = diagnostic.format_value(item['input'])
            if item['type'] == 'missing':
                found = 'nothing'
            elif item['type'] == 'extra_forbidden':
                found = 'an unknown field'
            document.add_diagnostic(
                (*path, *location),
                found,
                describe_allowed(model, location, item),
            )
        return None


def describe_allowed(
    model: type[pydantic.BaseModel],
    location: yaml_document.FieldPath,
    error: collections.abc.Mapping[str, typing.Any],
) -> str:
    """Describe the values that a model allows at a location."""
    parent = find_model(model, location[:-1])
    if error['type'] == 'extra_forbidden' and parent is not None:
        return ', '.join(list_fields(parent))
    field = location and parent and list_fields(parent).get(location[-1])
    if field and field.description:
        return field.description
    if error['type'] == 'missing':
        return 'a value'
    if error['type'] in ('model_type', 'model_attributes_type'):
        inner = find_model(model, location) or model
        return 'a mapping with ' + ', '.join(list_fields(inner))
    message = error['msg']
    for prefix in PYDANTIC_MESSAGE_PREFIXES:
        message = message.removeprefix(prefix)
    return message[:1].lower() + message[1:]


def list_fields(
    model: type[pydantic.BaseModel],
) -> dict[str | int, fields.FieldInfo]:
    """Return the fields of a model by alias, or by name if there is none."""
    return {
        field.alias or name: field
        for name, field in model.model_fields.items()
    }


def find_model(
    model: type[pydantic.BaseModel] | None, location: yaml_document.FieldPath
) -> type[pydantic.BaseModel] | None:
    """Return the nested model at a location, or None if there is none."""
    for part in location:
        if model is None:
            return None
        if isinstance(part, int):
            continue
        field = list_fields(model).get(part)
        model = field and find_in_type(field.annotation)
    return model


def find_in_type(
    annotation: typing.Any,
) -> type[pydantic.BaseModel] | None:
    """Return the first model in a type such as ``tuple[Model, ...]``."""
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    for part in typing.get_args(annotation):
        found = find_in_type(part)
        if found is not None:
            return found
    return None
