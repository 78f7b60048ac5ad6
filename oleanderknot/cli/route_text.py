"""Text output of the ``route`` command."""

import collections.abc
import typing

View = collections.abc.Mapping[str, typing.Any]


def format_view(view: View) -> str:
    """Format the explanation of a request."""
    age = view['store_age_s']
    lines = [
        'node %s, policy version %d' % (view['instance'], view['version']),
        'store: %s, last answer %s'
        % (
            'does not answer' if view['store_lost'] else 'answers',
            'never' if age is None else '%.1f s ago' % age,
        ),
    ]
    if view['route']:
        lines.append(
            'route %s, timeout %g s, %s'
            % (
                view['route'],
                view['timeout_s'],
                'may be repeated'
                if view['idempotent']
                else 'runs at most once',
            )
        )
    if view['organisation']:
        lines.append('organisation %s' % view['organisation'])
    if view['quota']:
        lines.append('limit: %s' % view['quota'])
    if view['rule']:
        lines.append('refused (%s): %s' % (view['rule'], view['detail']))
    for target in view['targets']:
        lines += format_target(target, view['request_class'])
    return '\n'.join(lines)


def format_target(target: View, request_class: str) -> list[str]:
    """Format the choice within one service."""
    lines = [
        'service %s, weight %g, class %s, priority number %.3f'
        % (
            target['service'],
            target['weight'],
            request_class,
            target['priority'],
        )
    ]
    lines += ['  ' + format_upstream(item) for item in target['upstreams']]
    if target['choice']:
        lines.append('-> %s: %s' % (target['choice'], target['detail']))
    else:
        lines.append(
            '-> refused (%s): %s; come back in %.2f s'
            % (
                target['rule'],
                target['detail'],
                target['retry_after_ms'] / 1000,
            )
        )
    return lines


def format_upstream(item: View) -> str:
    """Format what is known of one upstream."""
    name = '%s (%s)' % (item['instance'], item['data_centre'])
    if not item['usable']:
        return '%s: not used, %s' % (name, item['reason'])
    age = item['age_s']
    text = (
        '%s: %d calls from here, %.1f from others, limit %d, level %.2f,'
        ' %d in 100 fail, time %.2f of the mean, report %s'
        % (
            name,
            item['outstanding'],
            item['in_flight'],
            item['limit'],
            item['level'],
            round(100 * item['failure_share']),
            item['relative_time'],
            'none' if age is None else '%.2f s old' % age,
        )
    )
    return text + (', ' + item['reason'] if item['reason'] else '')
