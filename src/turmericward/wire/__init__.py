__all__ = ['ttypes', 'constants', 'Steward']
