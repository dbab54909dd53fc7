"""Reads YAML into a pydantic model, with errors that say where and why."""

from __future__ import annotations

from typing import TypeVar

import expression
import pydantic
import yaml

from hickorygate.core import errors

__all__ = ["read_yaml"]

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


def read_yaml(
    model: type[ModelT], text: str, path: str
) -> expression.Result[ModelT, errors.SheetInvalid]:
    """Validates a YAML document.

    Args:
      model: the border model.
      text: the document.
      path: named in errors.
    """
    try:
        return expression.Ok(model.model_validate(yaml.safe_load(text)))
    except yaml.YAMLError as error:
        reason = " ".join(str(error).split())
        return expression.Error(errors.SheetInvalid(path, "YAML", reason))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        where = ".".join(str(part) for part in first["loc"]) or "top level"
        return expression.Error(errors.SheetInvalid(path, where, first["msg"]))
